Feature: TLS between callers, entries and targets

  Scenario: Processes with certificates of one authority
    # Guards against plain text on the wire, and against a peer that nobody vouches for.
    Given an entry and a target with certificates of one authority
    Then a caller who knows the authority gets the answer of a request
    And a caller of another authority and a plain one get no answer
    And a peer that never shakes hands delays no caller
    And a target of another authority and a plain one are refused
    And settings with only some of the files are refused
