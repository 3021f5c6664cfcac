Feature: Every planned stop is a graceful shutdown and cuts no request

  Scenario: An instance stops under load
    Given a fleet over two data centres
    When Steyr asks for a pick list
    And Liezen asks for a convoy plan
    And Tamale asks for a case file
    And Accra sends a fee notice
    And the instance stops as planned
    Then all have whole answers, each only its own
    And nobody was refused
    And no engine holds memory for a caller
    And the other instances no longer list it as live

  Scenario: A request during the stop is refused at once and served elsewhere
    Given a fleet over two data centres
    When Tamale asks for a case file
    And the instance begins to stop as planned
    And Steyr asks the stopping instance for a pick list
    Then Steyr gets the verdict NOT_RUN
    And it was refused at once
    And Steyr asks the other instance and has the whole answer
    And the stop ends after Tamale's answer

  Scenario: An engine is drained while it answers
    Given a fleet over two data centres
    When Steyr asks for a pick list
    And Steyr has the beginning of the answer
    And the operator drains the engine that answers
    Then Steyr has the whole answer and only its own
    And it took one attempt

  Scenario: A whole data centre is stopped as planned
    Given a fleet with two instances in each data centre
    When 8 prompts are spread over all instances
    And the instances of one data centre stop one after the other
    And 8 prompts are spread over all instances
    Then all have whole answers, each only its own
    And nobody was refused
