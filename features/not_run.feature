Feature: A refusal that says NOT_RUN is true

  Scenario Outline: A stock booking fails at the warehouse application
    Given a fleet over two data centres
    When every desk <trouble>
    And Steyr sends a stock booking
    And all have ended
    Then Steyr gets the verdict <verdict>
    And it ran <runs> times
    And no request with the verdict NOT_RUN has run

    Examples:
      | trouble                             | verdict      | runs |
      | refuses connections                 | NOT_RUN      | 0    |
      | is draining                         | NOT_RUN      | 0    |
      | breaks the connection before it ran | MAY_HAVE_RUN | 0    |
      | breaks the connection after it ran  | MAY_HAVE_RUN | 1    |
      | takes longer than the deadline      | MAY_HAVE_RUN | 1    |
      | dies after it ran                   | MAY_HAVE_RUN | 1    |
      | mixes its answers up                | MAY_HAVE_RUN | 1    |

  Scenario Outline: A prompt fails at the only engine
    Given a fleet of 1 engine and one entry instance
    When <before>
    And Steyr asks for a pick list within 8 seconds
    And <then>
    And all have ended
    Then Steyr gets the verdict <verdict>
    And no request with the verdict NOT_RUN has run

    Examples:
      | before                      | then                                          | verdict      |
      | the engine is dead          | 1 seconds pass                                | NOT_RUN      |
      | the engine refuses new work | 1 seconds pass                                | NOT_RUN      |
      | 1 seconds pass              | the engine dies in the middle of its answer   | MAY_HAVE_RUN |
      | 1 seconds pass              | the engine is drained and cuts the stream     | MAY_HAVE_RUN |
      | 1 seconds pass              | the engine pauses in the middle of its answer | MAY_HAVE_RUN |

  Scenario: A request races with the drain of its instance
    Given a fleet over two data centres
    When Steyr asks for a pick list
    And the instance starts to drain
    And Liezen asks for a pick list
    And Admont sends a stock booking
    And all have ended
    Then Steyr has the whole answer and only its own
    And Liezen gets the verdict NOT_RUN
    And no request with the verdict NOT_RUN has run

  Scenario Outline: The connection to a desk breaks on real sockets
    When a desk breaks the connection <moment>
    Then the call gets the verdict <verdict>

    Examples:
      | moment                           | verdict      |
      | before it is accepted            | NOT_RUN      |
      | before the last byte of the body | MAY_HAVE_RUN |
      | after the last byte of the body  | MAY_HAVE_RUN |
      | in the middle of its answer      | MAY_HAVE_RUN |
