Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change reaches every node
    Given 6 nodes in 3 failure domains
    When an operator submits pool "a" through node-4
    Then the submission is accepted
    And every node has pool "a" in force

  Scenario: A node that was cut off catches up when the cut heals
    Given 6 nodes in 2 failure domains
    And the network cuts off node-5
    When an operator submits pool "a" through node-1
    Then the submission is accepted
    And every node but node-5 has pool "a" in force
    And node-5 does not have pool "a" in force
    When the network heals
    Then every node has pool "a" in force

  Scenario: Two relays at once in a failure domain harm nothing
    Given 6 nodes in 2 failure domains
    And the network cuts off node-5, but not from the store
    Then within a while 3 nodes take themselves for relays
    When an operator submits pool "a" through node-1
    And an operator submits pool "b" through node-5
    Then every node has pool "a" in force
    And every node has pool "b" in force
    When the network heals
    Then within a while 2 nodes take themselves for relays
    And the version in force is 2

  Scenario: A change goes on reaching everybody when the relay of a failure domain is killed
    Given 8 nodes in 2 failure domains
    And the relay of domain-2 is killed
    When an operator submits pool "a" through node-1
    Then the submission is accepted
    And every running node has pool "a" in force

  Scenario: Two failure domains are cut apart and the store is down on top
    Given 6 nodes in 2 failure domains
    And pool "a" is in force
    When the network cuts domain-1 off from domain-2
    And the store is down
    And an operator submits pool "b" through node-1
    Then the submission is unavailable
    And every node has pool "a" in force
    When the store is back
    And an operator submits pool "b" through node-1
    Then the submission is accepted
    And every node has pool "b" in force

  Scenario: A write whose answer is lost is settled by its id
    Given 3 nodes in 1 failure domains
    And the store loses the answer to the next write
    When an operator submits pool "a" through node-2 with id "first"
    Then the submission is accepted
    When an operator submits pool "a" through node-3 with id "first"
    Then the submission was accepted before
    And the version in force is 1

  Scenario: A write that is dropped without an answer is made again, once
    Given 3 nodes in 1 failure domains
    And the store drops the next write
    When an operator submits pool "a" through node-2 with id "first"
    Then the submission is accepted
    And the version in force is 1

  Scenario: Operators race each other with conflicting changes
    Given 6 nodes in 3 failure domains
    When 6 operators submit pool "a" through different nodes at once, each as a new item
    Then exactly 1 of them is accepted and the others hear of a conflict
    And every node has pool "a" in force

  Scenario: A bad version is refused whole
    Given 3 nodes in 1 failure domains
    When an operator submits a route to a pool that does not exist through node-1
    Then the submission is invalid
    And the version in force is 0

  Scenario: A node that restarts while the store is down serves nothing older than it had
    Given 6 nodes in 2 failure domains
    And pool "a" is in force
    And the store is down
    When node-3 is killed
    And node-3 is started again
    Then node-3 becomes ready
    And every node has pool "a" in force

  Scenario: Half of the nodes restart at once while the store is down
    Given 8 nodes in 2 failure domains
    And pool "a" is in force
    And the store is down
    When half of the nodes are killed and started again
    Then every node becomes ready
    And every node has pool "a" in force

  Scenario: A whole failure domain restarts at once while the store is down
    Given 8 nodes in 2 failure domains
    And pool "a" is in force
    And the store is down
    When all nodes of domain-2 are killed and started again
    Then every node becomes ready
    And every node has pool "a" in force

  Scenario: A store that came back older does not move the fleet back
    Given 4 nodes in 2 failure domains
    And pool "a" is in force
    And the store keeps a backup
    And pool "b" is in force
    When the store comes back from the backup
    And an operator submits pool "c" through node-1
    Then the submission is unavailable
    And every node has pool "b" in force
    When an operator republishes through node-2
    And an operator submits pool "c" through node-1
    Then the submission is accepted
    And every node has pool "c" in force

  Scenario: Updates that cross leave no route without its pool
    Given 6 nodes in 2 failure domains
    When routes and their pools come and go in crossing submissions through all nodes
    Then at no moment did a route on a node point at a pool that the node lacked
