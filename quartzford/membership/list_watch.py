"""Keeps the endpoint list current by a watch on discovery, and renews the watch when it ends or times out.

The call policy determines the delays and timeouts of calls (call_policy.py). addresses.py chooses the address
of each call, and list_call.py makes a single call.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable

from quartzford.engine import Clock, Handle, Log
from quartzford.membership.addresses import Address, Addresses, RequestKind
from quartzford.membership.call_policy import CallOutcome, CallPolicy
from quartzford.membership.list_call import ListCall
from quartzford.membership.listing import Listing, Sink, as_complete_list, read_listing


class ListWatch:
    """Keeps one watch open and tracks the version of the list that this balancer holds.

    resync: the version is reset whenever a watch ends, so that the next call requests the complete list.
    """

    def __init__(
        self,
        sink: Sink,
        addresses: Addresses,
        policy: CallPolicy,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
        *,
        resync: bool = False,
    ) -> None:
        self.sink = sink
        self.addresses = addresses
        self.policy = policy
        self.clock = clock
        self.log = log
        self.loop = loop
        self.resync = resync
        self.version: int | None = None
        self.ever_answered = False  # whether discovery has answered since the start
        self.call: ListCall | None = None
        self.late_call: ListCall | None = None  # was accepted, and may still be answered beside the next call
        self.candidate: ListCall | None = None  # a call to a preferred address while the watch is established
        self.timer: Handle | None = None  # for the next call
        self.candidate_timer: Handle | None = None
        # When a list, changes or an empty line last arrived, in seconds of the clock.
        self.last_line_at = -math.inf
        self.stopped = False
        self.counts: Counter[str] = Counter()  # the number of calls, and of each way they ended

    @property
    def address(self) -> Callable[[], Address]:
        """The function that returns the configured address."""
        return self.addresses.address

    @address.setter
    def address(self, address: Callable[[], Address]) -> None:
        """Set the function that returns the configured address; it is called for each call."""
        self.addresses.address = address

    # ---- start and end

    def start(self) -> None:
        """Schedule the first call, unless a call exists or is scheduled."""
        if not self.stopped and self.call is None and self.timer is None:
            self._schedule_call(self.policy.initial_delay())

    def stop(self) -> None:
        """End all calls and make no further ones."""
        self.stopped = True
        for timer in (self.timer, self.candidate_timer):
            if timer is not None:
                timer.cancel()
        for call in self._open_calls():
            call.close()

    def is_current(self) -> bool:
        """Return whether the held list is the service's current one, that is, a watch is established."""
        return self.call is not None and self.call.answered

    def follow_address(self) -> None:
        """Request the complete list from a new address, because that service may use other versions."""
        if not self.addresses.follows_configuration():
            return
        self._cancel_timer()
        self.version = None
        calls = self._open_calls()
        self.call = self.late_call = self.candidate = None
        for call in calls:
            call.close()
        self.start()

    def _open_calls(self) -> list[ListCall]:
        return [call for call in (self.call, self.late_call, self.candidate) if call is not None]

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # ---- making calls

    def _schedule_call(self, delay: float) -> None:
        if delay <= 0.0:
            self._make_call()
        else:
            self.timer = self.clock.call_later(delay, self._make_call)

    def _make_call(self) -> None:
        self.timer = None
        if self.stopped or self.call is not None:
            return
        complete_list_by_watch = self.addresses.complete_list_by_watch
        # Version 0 belongs to a configuration without upstreams.
        version_known = bool(self.version) if complete_list_by_watch else self.version is not None
        target = self.addresses.choose(version_known)
        self.counts["asked" if target.kind is RequestKind.COMPLETE_LIST else "watched"] += 1
        self.call = ListCall(self, target, complete_list_by_watch=complete_list_by_watch)

    def _try_better_address(self) -> None:
        """Call a preferred address; the present watch stays open until the new one has answered."""
        self.candidate_timer = None
        if self.stopped or self.candidate is not None or not self.is_current():
            return
        target = self.addresses.better_target()
        if target is None:
            return
        self.counts["tried better"] += 1
        by_watch = self.addresses.complete_list_by_watch
        self.candidate = ListCall(self, target, complete_list_by_watch=by_watch)

    def _schedule_candidate(self) -> None:
        if self.candidate_timer is not None:
            self.candidate_timer.cancel()
            self.candidate_timer = None
        delay = self.policy.better_address_delay()
        if delay < math.inf and not self.stopped:
            self.candidate_timer = self.clock.call_later(delay, self._try_better_address)

    # ---- methods of CallOwner, invoked by calls

    def read_line(self, text: bytes, call: ListCall) -> bool:
        """Parse and apply one line of a call; return False if it is unusable and the call must end."""
        try:
            listing = read_listing(text)
        except ValueError as error:
            return self.reject_line(error, call)
        return self.accept_listing(listing, call)

    def reject_line(self, error: Exception, call: ListCall) -> bool:
        """Log a line that cannot be parsed and request the complete list next; always return False."""
        self.log.line("discovery", f"cannot parse a line of the endpoint list: {error}")
        self.forget_version(call)
        return False

    def forget_version(self, call: ListCall) -> None:
        """Make the next call request the complete list, unless the line came from a candidate."""
        if call is not self.candidate:
            self.version = None

    def accept_listing(self, listing: Listing, call: ListCall) -> bool:
        """Apply a parsed line; return False if the call must end."""
        if self._is_outdated(listing, call):
            return not call.watch
        if call.expects_complete_list and not call.answered:
            listing = as_complete_list(listing)
        if listing.complete:
            if self.candidate is not None and call is not self.candidate:
                # The candidate's changes may belong to a list of another incarnation of the service.
                self.candidate.close()
        elif self.version is None or listing.version < self.version:
            self.version = None
            return False
        self.version = listing.version
        self.ever_answered = True
        self.sink.listed(listing)
        return True

    def _is_outdated(self, listing: Listing, call: ListCall) -> bool:
        """Return whether a listing is older than the held one without showing a restart of the service.

        A candidate that is behind the established watch delivers nothing new. A complete list that was
        requested while a version is held comes from a relay that has lost the service.
        """
        older = self.version is not None and listing.version < self.version
        return older and (call is self.candidate or not call.watch)

    def call_answered(self, call: ListCall) -> None:
        """Make this call the watch after its first answer, and close all other calls."""
        self.addresses.record_answer(call.target)
        self.policy.record_answer()
        others = [other for other in self._open_calls() if other is not call]
        self.call = call
        self.late_call = self.candidate = None
        self._cancel_timer()
        for other in others:
            other.close()
        self._schedule_candidate()

    def keep_late_call(self, call: ListCall) -> bool:
        """Handle a call that timed out; return whether it stays open beside the next call."""
        keeps = self.policy.keeps_late_calls and not self.stopped
        if call is not self.call or self.late_call is not None or not keeps:
            return False
        self.call = None
        self.late_call = call
        self.counts["kept"] += 1
        self.addresses.record_failure(call.target, CallOutcome.TIMED_OUT)
        delay = self.policy.delay_after(CallOutcome.TIMED_OUT, self.clock.now() - call.last_progress_at)
        self.timer = self.clock.call_later(delay, self._make_call)
        return True

    def call_ended(self, call: ListCall, in_order: bool) -> None:
        """Handle the end of a call and schedule the next one."""
        if call is self.late_call:
            self.late_call = None
        if call is self.candidate:
            self.candidate = None
            self._schedule_candidate()
        if call is not self.call:
            return
        self.call = None
        self.counts["ended in order" if in_order else f"ended {call.end_reason}"] += 1
        if self.stopped:
            return
        outcome = self._outcome(call, in_order)
        if outcome is not CallOutcome.COMPLETED:
            self.addresses.record_failure(call.target, outcome)
            if self.resync:
                self.version = None
        delay = self.policy.delay_after(outcome, self.clock.now() - call.last_progress_at, call.retry_after_s)
        self.timer = self.clock.call_later(delay, self._make_call)

    @staticmethod
    def _outcome(call: ListCall, in_order: bool) -> CallOutcome:
        if not in_order:
            return call.outcome
        return CallOutcome.UNUSABLE if call.watch else CallOutcome.COMPLETED
