"""Reads answers within bounds."""

# Longest description of an error in characters.
MAX_ERROR_CHARACTERS = 200


def describe_error(error: BaseException) -> str:
    """Returns the text of an error, in bounded length and without controls.

    Texts of the HTTP library may repeat what a server sent.
    """
    text = str(error)[:MAX_ERROR_CHARACTERS] or type(error).__name__
    return "".join(c if c.isprintable() else "?" for c in text)
