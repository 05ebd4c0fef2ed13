"""What an entry and the command `where` agree on."""

import msgspec

WHERE_PATH = "/where"
# Headers of a question: the host, path and API key with which the job would be submitted.
HOST_HEADER, PATH_HEADER, KEY_HEADER = "X-Job-Host", "X-Job-Path", "X-Job-Key"
# A question that the owner has not taken up after this long is withdrawn.
ANSWER_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1
# Of an answer of an entry that does not own the schedule and knows which one does.
NOT_OWNER_STATUS = 421
# The question may succeed if it is asked again.
TEMPORARY_STATUSES = (429, 503, 504)


class QuestionRefusal(msgspec.Struct, frozen=True):
    """Why a question was not answered; `owner` is the control address to ask instead, if known."""

    message: str
    remedy: str
    owner: str = ""
