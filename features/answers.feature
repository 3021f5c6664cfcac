Feature: Each caller gets the whole answer to its own request, and only its own

  Scenario Outline: Answers that are cut, delayed, duplicated or mixed up
    Given a fleet of 1 engine and one entry instance
    When Steyr asks for a pick list
    And Liezen asks for a pick list
    And Admont asks for a convoy plan
    And Steyr has the beginning of the answer
    And the engine <trouble>
    Then all have whole answers, each only its own

    Examples:
      | trouble              |
      | mixes up two answers |
      | sends pieces twice   |
      | answers late         |
      | cuts the stream      |
      | restarts             |

  Scenario: An interrupted answer continues on another engine
    Given a fleet that hands answers over to other engines
    When Steyr asks for a pick list
    And Steyr has the beginning of the answer
    And the engine dies
    Then Steyr has the whole answer and only its own

  Scenario: A case file larger than an engine's memory is prefilled completely
    Given a fleet over two data centres
    When Tamale asks for a case file
    Then Tamale has the whole answer and only its own
    And the engines have prefilled each of its tokens

  Scenario: An answer that never completes is an error and not a shorter answer
    Given a fleet of 1 engine and one entry instance
    When Steyr asks for a pick list within 10 seconds
    And Steyr has the beginning of the answer
    And the engine cuts every stream
    And all have ended
    Then Steyr gets the verdict MAY_HAVE_RUN
    And no caller has a piece of another answer
