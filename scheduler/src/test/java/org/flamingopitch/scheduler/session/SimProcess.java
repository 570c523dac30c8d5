package org.flamingopitch.scheduler.session;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.SchedulerNode;

/** An entry host of a session. */
final class SimProcess {

    private final Member member;

    private final SchedulerNode node;

    private final Instant startedAt;

    private final Set<ProcessId> connected = new HashSet<>();

    private final List<Runnable> heldEvents = new ArrayList<>();

    private final List<NodeEffect> heldEffects = new ArrayList<>();

    private boolean alive = true;

    private boolean refusesConnections;

    private boolean holdsWrites;

    private boolean drainAsked;

    private Instant frozenUntil = Instant.EPOCH;

    SimProcess(Member member, SchedulerNode node, Instant startedAt) {
        this.startedAt = startedAt;
        this.member = member;
        this.node = node;
    }

    ProcessId id() {
        return member.id();
    }

    Member member() {
        return member;
    }

    Instant startedAt() {
        return startedAt;
    }

    SchedulerNode node() {
        return node;
    }

    Set<ProcessId> connected() {
        return connected;
    }

    List<Runnable> heldEvents() {
        return heldEvents;
    }

    List<NodeEffect> heldEffects() {
        return heldEffects;
    }

    boolean alive() {
        return alive;
    }

    void end(boolean portRefuses) {
        alive = false;
        refusesConnections = portRefuses;
    }

    boolean refusesConnections() {
        return refusesConnections;
    }

    boolean frozen(Instant now) {
        return now.isBefore(frozenUntil);
    }

    Instant frozenUntil() {
        return frozenUntil;
    }

    void freeze(Instant until, boolean beforeWrite) {
        frozenUntil = until;
        holdsWrites = beforeWrite;
    }

    boolean holdsWrites(Instant now) {
        return holdsWrites && frozen(now);
    }

    boolean drainAsked() {
        return drainAsked;
    }

    void askDrain() {
        drainAsked = true;
    }
}
