Feature: The kernel of a process

  Scenario: Services stop in reverse order, also when a later one fails to start
    Guards against sockets and threads that stay open after a failed start.

    Given services "log", "ledger" and "api" of which "api" fails to start
    When the kernel starts
    Then "ledger" and then "log" were stopped
    And the failure reaches the caller

  Scenario: Services are found by name and type, and plugins hear of start and stop
    Guards against a service that is used before it exists or as another kind.

    Given services "log" and "ledger"
    When the kernel starts and stops with a plugin on its bus
    Then "log" is found by its name, and an unknown name or another kind is refused
    And the plugin heard "start", "stop" and "exit" around the services
