Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: An operator changes a weight
    Given a fleet with two instances in each data centre
    When <event>
    And an operator sets the weight of Hofbauer to 4 at one instance
    Then it is in force at every instance within <time> seconds
    And no instance ever reverts

    Examples:
      | event                                           | time |
      | 1 seconds pass                                  | 3    |
      | the platform loses events of its watches        | 9    |
      | the answer of the operator's write will be lost | 9    |
      | one instance is paused for a while              | 9    |
      | the data centres are cut off from each other    | 9    |
      | one data centre is cut off from the platform    | 9    |

  Scenario: Stale reads from the platform do not revert the configuration
    Given a fleet with two instances in each data centre
    When an operator sets the weight of Hofbauer to 4 at one instance
    And 5 seconds pass
    And the platform serves reads that are a minute stale for 10 seconds
    And one instance is replaced
    Then it is in force at every instance within 3 seconds
    And no instance ever reverts

  Scenario: An instance that starts while the platform is down asks its peers
    Given a fleet with two instances in each data centre
    When an operator sets the weight of Hofbauer to 4 at one instance
    And 5 seconds pass
    And the platform goes down
    And one instance is replaced
    Then it is in force at every instance within 3 seconds

  Scenario: An instance that starts while the platform is down serves callers
    Given a fleet with two instances in each data centre
    When the platform goes down
    And one instance is replaced
    Then Steyr asks the new instance for a pick list and has the whole answer

  Scenario: Two data centres converge after a partition
    Given a fleet with two instances in each data centre
    When one data centre is cut off from everything
    And an operator sets the weight of Hofbauer to 4 at one instance
    And 20 seconds pass
    And the partition ends
    Then it is in force at every instance within 9 seconds
    And no instance ever reverts

  Scenario: Two operators change the same revision
    Given a fleet with two instances in each data centre
    When two operators change the weight of Hofbauer at the same moment
    Then one of them gets a revision conflict
    And the other's change is in force at every instance within 3 seconds
