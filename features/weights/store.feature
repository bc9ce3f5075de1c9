Feature: Manifests and the chunk store
  Only verified chunks are kept, within the memory, and only a complete set can be read.

  @always_1
  Scenario Outline: A bad manifest is rejected: <damage>
    Given a manifest of 5 chunks
    When the manifest is damaged by <damage>
    Then the manifest is rejected with a reason

    Examples:
      | damage                  |
      | one chunk digest        |
      | order of chunks         |
      | size                    |
      | a missing chunk         |
      | cut text                |
      | not an object           |
      | chunk size of 0         |
      | chunk size as text      |
      | another version         |
      | digest too short        |

  Scenario: A good manifest is read back
    Given a manifest of 5 chunks
    Then the manifest equals itself after writing and reading

  @always_1
  Scenario Outline: The chunk store judges a chunk: <chunk>
    Given a chunk store with a manifest of 5 chunks reserved
    When the chunk store is given <chunk>
    Then the chunk store answers <outcome>

    Examples:
      | chunk                  | outcome   |
      | a chunk                | stored    |
      | the same chunk twice   | duplicate |
      | a chunk with a bit off | corrupt   |
      | an empty chunk         | corrupt   |
      | a chunk of no manifest | unwanted  |

  @always_1
  Scenario: An incomplete set cannot be read
    Given a chunk store with a manifest of 5 chunks reserved
    When the chunk store lacks one chunk of the manifest
    Then the chunk store refuses to read the weights

  @always_1
  Scenario: Shared chunks stay while one manifest needs them
    Given a chunk store with two manifests that share 3 chunks
    When the chunk store releases the first and needs memory
    Then the chunk store holds the second completely and no more than its limit

  @always_1
  Scenario: Random operations keep the chunk store within its limit
    Then the chunk store keeps its bounds over random operations
