"""HTTP client sessions that accept only valid answers.

In reading order: ``answerhead`` decodes the head of an answer, ``protocol``
validates what a connection receives, ``connector`` opens such connections,
``sessions`` opens sessions of them, and ``reading`` reads bodies and describes
errors.
"""
