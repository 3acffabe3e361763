"""Collects permits to stop serving from the entries that this agent hears."""

from __future__ import annotations

from typing import Protocol

from marlramp import clock
from marlramp import ids
from marlramp.core import swap
from marlramp.protocol import messages


class Entries(Protocol):
    """The links to the entries."""

    def heard(self) -> list[ids.VmId]:
        """Returns the entries heard from lately."""
        ...

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        """Sends a message to one entry, dropping it if the link is down."""
        ...


class SwapPermits:
    """The questions of one agent, round by round.

    An entry no longer heard from is not waited for: it gives the agent no
    work. One that is heard for the first time is asked in the same round.
    """

    def __init__(self, entries: Entries, time: clock.Clock) -> None:
        """Sends nothing before `ask`."""
        self._entries = entries
        self._clock = time
        self._round = swap.PermitCollector()
        self._version = ids.VersionId("")

    def ask(self, version: ids.VersionId) -> None:
        """Starts a round and asks every entry heard from."""
        self._version = version
        self._round.begin(self._clock.now_ms())
        self._ask_all()

    def standing(self) -> swap.AttemptState:
        """Returns how the round stands; asks entries without an answer."""
        found = self._round.state(self._entries.heard(), self._clock.now_ms())
        if found is swap.AttemptState.WAITING:
            self._ask_all()
        return found

    def withdraw(self) -> None:
        """Ends the round and gives back whatever was or will be permitted."""
        self._round.end()
        for entry_id in self._round.requested:
            self._give_back(entry_id, self._round.number)

    def answered(self, entry_id: ids.VmId, answer: messages.SwapAnswer) -> None:
        """Takes an entry's answer, of this round or an earlier one."""
        number = answer.round_number
        if self._round.handle_answer(
            entry_id,
            number,
            answer.granted,
            answer.ttl_ms,
            self._clock.now_ms(),
        ):
            # The withdrawal that followed the question may have been lost.
            self._give_back(entry_id, number)

    def _ask_all(self) -> None:
        request = messages.SwapRequest(
            version=self._version,
            round_number=self._round.number,
            hold_ms=self._round.hold_ms,
        )
        heard = self._entries.heard()
        for entry_id in self._round.next_requests(heard, self._clock.now_ms()):
            self._entries.send(entry_id, request)

    def _give_back(self, entry_id: ids.VmId, number: int) -> None:
        message = messages.SwapWithdrawal(round_number=number)
        self._entries.send(entry_id, message)
