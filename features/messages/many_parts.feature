Feature: Messages of very many parts do not exhaust the memory

  Scenario Outline: A message of <parts> takes little memory and is <result>
    When a message of <parts> is decoded
    Then it is <result> and took at most 12 MB

    Examples:
      | parts                          | result   |
      | 2,000,000 empty maps           | rejected |
      | 60,000 lists of 30 empty maps  | rejected |
      | 600,000 short texts            | rejected |
      | 30,000 lists of 15 short texts | rejected |
      | 780 short texts                | sound    |
