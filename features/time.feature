Feature: Every admitted filing or dispatch request ends within its time

  Scenario Outline: Faults of the engine that answers
    Given a fleet over two data centres
    When Steyr asks for a pick list within 15 seconds
    And Tamale asks for a claim summary within 15 seconds
    And Admont asks for a flood brief within 40 seconds
    And Steyr has the beginning of the answer
    And the engine <trouble>
    And all have ended
    Then each has ended by its deadline
    And no caller has a piece of another answer
    And no request with the verdict NOT_RUN has run

    Examples:
      | trouble                     |
      | dies                        |
      | pauses                      |
      | becomes twenty times slower |
      | answers late                |
      | cuts every stream           |

  Scenario Outline: Faults of other parts
    Given a fleet over two data centres
    When <part>
    And 20 prompts of both institutions arrive over 2 seconds
    And all have ended
    Then each has ended by its deadline
    And no request with the verdict NOT_RUN has run
    And <share> of them were answered

    Examples:
      | part                         | share |
      | the platform is down         | all   |
      | the data centres are cut off | all   |
      | all engines but one die      | most  |
      | all engines die              | none  |

  Scenario: A request that cannot end in time is refused at once
    Given a fleet of 1 engine and one entry instance
    When Steyr asks for a pick list within 0.1 seconds
    And all have ended
    Then Steyr gets the verdict NOT_RUN
    And it was refused at once
