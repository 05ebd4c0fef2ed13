Feature: Real processes keep their promises under random faults from outside

  Scenario Outline: Callers and runners see no broken promise in a soak
    # Guards against faults that only show between real processes: signals, restarts, links that are
    # slow, silent or cut one way, runners that crash, drain and shrink, and changes of keys, in
    # series and overlapping, while callers keep using their connections.
    When a soak of <seconds> seconds with seed <seed> is played
    Then no promise was broken

    Examples:
      | seed | seconds |
      | 7    | 12      |
      | 20   | 20      |
