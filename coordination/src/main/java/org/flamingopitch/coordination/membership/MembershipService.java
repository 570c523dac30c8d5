package org.flamingopitch.coordination.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.lease.LeaseGuard;

/** Keeps this process registered under a lease and follows the other members. */
public final class MembershipService {

    private final LoopContext context;

    private final LeaseTimings timings;

    private final String keyPrefix;

    private final LeaseGuard guard;

    private final Map<ProcessId, Member> members = new TreeMap<>();

    private final Map<ProcessId, Instant> absentSince = new TreeMap<>();

    private final List<Runnable> registrationListeners = new ArrayList<>();

    private final List<Runnable> changeListeners = new ArrayList<>();

    private final List<Consumer<ProcessId>> absenceListeners = new ArrayList<>();

    private Member self;

    private String leaseId;

    private long ownKeyVersion = KeyValueRequest.ABSENT;

    private boolean registered;

    private boolean stopped;

    private boolean lastCallFailed;

    private long registration;

    /**
     * Creates the service.
     *
     * @param context the loop
     * @param watcher follows the keys with the prefix
     * @param timings the lease's times
     * @param keyPrefix the prefix of the members' keys
     * @param self this process
     */
    public MembershipService(
            LoopContext context, StoreWatcher watcher, LeaseTimings timings, String keyPrefix, Member self) {
        this.context = context;
        this.timings = timings;
        this.keyPrefix = keyPrefix;
        this.self = self;
        this.guard = new LeaseGuard(timings.margin());
        watcher.listen(this::applyEntry);
    }

    /**
     * Adds a listener for new registrations: the store granted a new lease, what was owned must be claimed anew.
     *
     * @param listener runs after each registration
     */
    public void onRegistered(Runnable listener) {
        registrationListeners.add(listener);
    }

    /**
     * Adds a listener for changes of the members.
     *
     * @param listener runs after each change
     */
    public void onChange(Runnable listener) {
        changeListeners.add(listener);
    }

    /**
     * Adds a listener for members whose keys are gone.
     *
     * @param listener receives the process
     */
    public void onAbsent(Consumer<ProcessId> listener) {
        absenceListeners.add(listener);
    }

    /** Registers this process. */
    public void start() {
        grantLease();
    }

    /** Ends the lease, so that others need not wait for its end. */
    public void stop() {
        stopped = true;
        guard.end();
        if (leaseId != null) {
            context.keyValue(new KeyValueRequest.RevokeLease(leaseId), result -> {});
        }
    }

    /** Tells the others that this process hands over what it owns. */
    public void drain() {
        self = self.asDraining();
        if (leaseId != null) {
            rewriteOwnKey(leaseId);
        }
    }

    /**
     * Returns the guard of this process.
     *
     * @return the guard
     */
    public LeaseGuard guard() {
        return guard;
    }

    /**
     * Returns this process.
     *
     * @return what it tells about itself
     */
    public Member self() {
        return self;
    }

    /**
     * Tells whether this process holds a lease that the store granted.
     *
     * @return whether it is registered
     */
    public boolean registered() {
        return registered;
    }

    /**
     * Returns the number of the current registration; it grows with each lease that the store grants.
     *
     * @return the number
     */
    public long registration() {
        return registration;
    }

    /**
     * Tells whether the last call for the lease got no answer.
     *
     * @return whether the store seems to be out of reach
     */
    public boolean storeOutOfReach() {
        return lastCallFailed;
    }

    /**
     * Returns the members that the store last showed.
     *
     * @return the members
     */
    public Collection<Member> members() {
        return members.values();
    }

    /**
     * Looks up a member.
     *
     * @param id the process
     * @return the member, if the store shows it
     */
    public Optional<Member> member(ProcessId id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Returns since when a former member has been absent.
     *
     * @param id the process
     * @return the time at which its key was seen to be gone, if it was seen before
     */
    public Optional<Instant> absentSince(ProcessId id) {
        return Optional.ofNullable(absentSince.get(id));
    }

    private void grantLease() {
        if (stopped) {
            return;
        }
        registered = false;
        leaseId = null;
        Instant sentAt = context.now();
        context.keyValue(new KeyValueRequest.GrantLease(timings.timeToLive()), result -> applyGranted(result, sentAt));
    }

    private void applyGranted(KeyValueResult result, Instant sentAt) {
        lastCallFailed = !result.answered();
        if (result instanceof KeyValueResult.Leased leased) {
            leaseId = leased.leaseId();
            writeOwnKey(leaseId, sentAt);
            return;
        }
        context.schedule(timings.renewInterval(), this::grantLease);
    }

    private void writeOwnKey(String lease, Instant sentAt) {
        String key = keyPrefix + self.id().value();
        String value = JsonCodec.json().encode(self);
        context.keyValue(
                new KeyValueRequest.Put(key, value, ownKeyVersion, lease),
                result -> applyOwnKeyWritten(result, lease, sentAt));
    }

    private void applyOwnKeyWritten(KeyValueResult result, String lease, Instant sentAt) {
        if (!lease.equals(leaseId)) {
            return;
        }
        if (result instanceof KeyValueResult.Written written) {
            ownKeyVersion = written.version();
            applyRegistered(sentAt);
            return;
        }
        if (result instanceof KeyValueResult.Conflict conflict) {
            ownKeyVersion = conflict.actualVersion();
            writeOwnKey(lease, sentAt);
            return;
        }
        if (result instanceof KeyValueResult.LeaseEnded) {
            grantLease();
            return;
        }
        context.schedule(timings.renewInterval(), () -> rewriteOwnKey(lease));
    }

    private void rewriteOwnKey(String lease) {
        if (lease.equals(leaseId)) {
            writeOwnKey(lease, context.now().minus(timings.timeToLive()));
        }
    }

    private void applyRegistered(Instant sentAt) {
        guard.renewed(sentAt, timings.timeToLive());
        members.put(self.id(), self);
        if (registered) {
            return;
        }
        registered = true;
        registration++;
        registrationListeners.forEach(Runnable::run);
        context.schedule(timings.renewInterval(), this::renew);
    }

    private void renew() {
        if (stopped || !registered) {
            return;
        }
        Instant sentAt = context.now();
        String lease = leaseId;
        context.keyValue(new KeyValueRequest.RenewLease(lease), result -> applyRenewed(result, sentAt));
    }

    private void applyRenewed(KeyValueResult result, Instant sentAt) {
        lastCallFailed = !result.answered();
        if (result instanceof KeyValueResult.LeaseEnded) {
            guard.end();
            grantLease();
            return;
        }
        if (result.answered()) {
            guard.renewed(sentAt, timings.timeToLive());
        }
        context.schedule(timings.renewInterval(), this::renew);
    }

    private void applyEntry(KeyValueEntry entry) {
        if (!entry.key().startsWith(keyPrefix)) {
            return;
        }
        ProcessId id = new ProcessId(entry.key().substring(keyPrefix.length()));
        if (id.equals(self.id())) {
            ownKeyVersion = entry.deleted() ? KeyValueRequest.ABSENT : entry.version();
        } else if (entry.deleted()) {
            members.remove(id);
            absentSince.put(id, context.now());
            absenceListeners.forEach(listener -> listener.accept(id));
        } else {
            members.put(id, JsonCodec.json().decode(entry.value(), Member.class));
            absentSince.remove(id);
        }
        changeListeners.forEach(Runnable::run);
    }
}
