"""The platform's header names."""

from balsamspindle.protocol.header_names import HeaderNames

__all__ = ["HEADER_NAMES", "RETRY_AFTER_DECIMALS"]

# Callers on the platform accept fractions of a second in Retry-After.
RETRY_AFTER_DECIMALS = 2

HEADER_NAMES = HeaderNames(
    request_id="X-Request-Id",
    timeout_ms="X-Deadline-Ms",
    expected_backend_server="X-Expected-Instance",
    backend_server_id="X-Instance-Id",
    caller_service="X-Caller-Service",
    not_run="X-Not-Executed",
    signature="X-Response-Signature",
    server_limit="Server-Limit",
    server_leaving="Server-Leaving",
    credential="",
    api_key="X-Credential",
    customer="X-Tenant",
    echoes_request_id=True,
)
