Feature: The kernel of a process

  Scenario: Services stop in reverse order, also when a later one fails to start
    Guards against sockets and threads that stay open because a service failed to start after
    others had started.

    Given services "log", "ledger" and "api" of which "api" fails to start
    When the kernel starts
    Then "ledger" and then "log" are stopped
    And the caller gets the error

  Scenario: Services are found by name and type, and plugins are notified of start and stop
    Guards against using a service that is not registered, or one of another type, and against
    plugins that run before the services have started or after they have stopped.

    Given services "log" and "ledger"
    When the kernel starts and stops with a plugin subscribed to its bus
    Then "log" is found by its name, and a lookup with an unknown name or another type fails
    And the plugin is notified of "start", "stop" and "exit" in order with the services
