"""Collects permits to stop serving from the entries that this agent hears.

Requests, answers and withdrawals can be lost. A request without an answer is
sent again, and a permit of an attempt that is over is returned when its answer
arrives.
"""

from __future__ import annotations

from typing import Protocol

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import swap
from marlramp.protocol import messages


class Entries(Protocol):
    """Links from the agent to the entries."""

    def heard(self) -> list[ids.VmId]:
        """Returns the entries that have sent a message recently."""
        ...

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        """Sends a message to one entry, dropping it if the link is down."""
        ...


class SwapPermits:
    """Permit requests of one agent, one attempt at a time.

    An entry that is no longer heard is not waited for, since it sends the agent
    no runs. An entry that is first heard during an attempt receives a request
    in that attempt.
    """

    def __init__(self, entries: Entries, time: clock.Clock) -> None:
        """Sends nothing until `request` is called."""
        self._entries = entries
        self._clock = time
        self._attempt = swap.PermitCollector()
        self._version = ids.VersionId("")

    def request(self, version: ids.VersionId) -> None:
        """Starts an attempt and requests a permit from every entry heard."""
        self._version = version
        self._attempt.begin(self._clock.now_ms())
        self._send_requests()

    def state(self) -> swap.AttemptState:
        """Returns the state of the attempt.

        Sends requests that are due, to new entries and to those that have not
        answered, while the attempt waits for permits.
        """
        found = self._attempt.state(self._entries.heard(), self._clock.now_ms())
        if found is swap.AttemptState.WAITING:
            self._send_requests()
        return found

    def withdraw(self) -> None:
        """Ends the attempt and returns its permits, also those yet to come."""
        self._attempt.end()
        for entry_id in self._attempt.requested:
            self._send_withdrawal(entry_id, self._attempt.number)

    def handle_answer(
        self, entry_id: ids.VmId, answer: messages.SwapAnswer
    ) -> None:
        """Handles an answer to a request of this or an earlier attempt."""
        number = answer.round_number
        if self._attempt.handle_answer(
            entry_id,
            number,
            answer.granted,
            answer.ttl_ms,
            self._clock.now_ms(),
        ):
            # The withdrawal sent when that attempt ended may have been lost.
            self._send_withdrawal(entry_id, number)

    def _send_requests(self) -> None:
        request = messages.SwapRequest(
            version=self._version,
            round_number=self._attempt.number,
            hold_ms=self._attempt.hold_ms,
        )
        heard = self._entries.heard()
        for entry_id in self._attempt.next_requests(
            heard, self._clock.now_ms()
        ):
            self._entries.send(entry_id, request)

    def _send_withdrawal(self, entry_id: ids.VmId, number: int) -> None:
        message = messages.SwapWithdrawal(round_number=number)
        self._entries.send(entry_id, message)
