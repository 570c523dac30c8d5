package org.flamingopitch.coordination.membership;

import com.google.common.flogger.FluentLogger;
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

/** Registers this process in the store under a lease that it renews, and watches the registrations of other members. */
public final class MembershipService {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

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

    private boolean lastLeaseCallFailed;

    private long registration;

    /**
     * Creates the service.
     *
     * @param context the time, timers and store calls
     * @param watcher delivers the changes of the members' keys
     * @param timings the lease's timings
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
        watcher.addListener(this::applyEntry);
    }

    /**
     * Adds a listener for new registrations. The store has granted a new lease, so that partitions owned under the former
     * one must be claimed again.
     *
     * @param listener runs after each registration
     */
    public void onRegistered(Runnable listener) {
        registrationListeners.add(listener);
    }

    /**
     * Adds a listener for changes of the registrations in the store.
     *
     * @param listener runs after each change
     */
    public void onChange(Runnable listener) {
        changeListeners.add(listener);
    }

    /**
     * Adds a listener for members whose keys have been deleted.
     *
     * @param listener receives the id of the former member
     */
    public void onAbsent(Consumer<ProcessId> listener) {
        absenceListeners.add(listener);
    }

    /** Starts to register this process; failed calls are repeated. */
    public void start() {
        requestLease();
    }

    /** Revokes the lease, so that others can take over without waiting for its expiry. */
    public void stop() {
        stopped = true;
        guard.end();
        if (leaseId != null) {
            context.callStore(new KeyValueRequest.RevokeLease(leaseId), result -> {});
        }
    }

    /** Marks this process as draining and publishes that it hands over its partitions. */
    public void drain() {
        self = self.asDraining();
        if (leaseId != null) {
            rewriteOwnKey(leaseId);
        }
    }

    /**
     * Returns the guard that limits the use of this process's lease.
     *
     * @return the guard
     */
    public LeaseGuard guard() {
        return guard;
    }

    /**
     * Returns the member that this process publishes.
     *
     * @return this process's own member
     */
    public Member self() {
        return self;
    }

    /**
     * Returns whether this process is registered under a lease that is not known to have ended.
     *
     * @return whether it is registered
     */
    public boolean registered() {
        return registered;
    }

    /**
     * Returns the number of the current registration, which grows with each new lease.
     *
     * @return the number, 0 before the first registration
     */
    public long registration() {
        return registration;
    }

    /**
     * Returns whether the last call to grant or renew the lease got no answer.
     *
     * @return whether the store seems to be unreachable
     */
    public boolean storeUnreachable() {
        return lastLeaseCallFailed;
    }

    /**
     * Returns the members, as last received from the store.
     *
     * @return the members
     */
    public Collection<Member> members() {
        return members.values();
    }

    /**
     * Returns a member.
     *
     * @param id the process
     * @return the member, or nothing if the process is not registered
     */
    public Optional<Member> member(ProcessId id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Returns the time since which a former member has been absent.
     *
     * @param id the process
     * @return the time at which this process received the deletion of its key, or nothing if it received none
     */
    public Optional<Instant> absentSince(ProcessId id) {
        return Optional.ofNullable(absentSince.get(id));
    }

    private void requestLease() {
        if (stopped) {
            return;
        }
        registered = false;
        leaseId = null;
        Instant sentAt = context.now();
        context.callStore(new KeyValueRequest.GrantLease(timings.timeToLive()), result -> handleGrant(result, sentAt));
    }

    private void handleGrant(KeyValueResult result, Instant sentAt) {
        lastLeaseCallFailed = !result.answered();
        if (result instanceof KeyValueResult.Leased leased) {
            leaseId = leased.leaseId();
            writeOwnKey(leaseId, sentAt);
            return;
        }
        context.schedule(timings.renewInterval(), this::requestLease);
    }

    private void writeOwnKey(String lease, Instant sentAt) {
        String key = keyPrefix + self.id().value();
        String value = JsonCodec.json().encode(self);
        context.callStore(
                new KeyValueRequest.Put(key, value, ownKeyVersion, lease),
                result -> handleOwnKeyWrite(result, lease, sentAt));
    }

    private void handleOwnKeyWrite(KeyValueResult result, String lease, Instant sentAt) {
        if (!lease.equals(leaseId)) {
            return;
        }
        if (result instanceof KeyValueResult.Written written) {
            ownKeyVersion = written.version();
            completeRegistration(sentAt);
            return;
        }
        if (result instanceof KeyValueResult.Conflict conflict) {
            ownKeyVersion = conflict.actualVersion();
            writeOwnKey(lease, sentAt);
            return;
        }
        if (result instanceof KeyValueResult.LeaseEnded) {
            requestLease();
            return;
        }
        context.schedule(timings.renewInterval(), () -> rewriteOwnKey(lease));
    }

    private void rewriteOwnKey(String lease) {
        if (lease.equals(leaseId)) {
            // This write does not renew the lease; the earlier time keeps it from extending the guard.
            writeOwnKey(lease, context.now().minus(timings.timeToLive()));
        }
    }

    private void completeRegistration(Instant sentAt) {
        guard.extend(sentAt, timings.timeToLive());
        members.put(self.id(), self);
        if (registered) {
            return;
        }
        registered = true;
        registration++;
        registrationListeners.forEach(Runnable::run);
        context.schedule(timings.renewInterval(), this::renewLease);
    }

    private void renewLease() {
        if (stopped || !registered) {
            return;
        }
        Instant sentAt = context.now();
        String lease = leaseId;
        context.callStore(new KeyValueRequest.RenewLease(lease), result -> handleRenewal(result, sentAt));
    }

    private void handleRenewal(KeyValueResult result, Instant sentAt) {
        lastLeaseCallFailed = !result.answered();
        if (result instanceof KeyValueResult.LeaseEnded) {
            guard.end();
            requestLease();
            return;
        }
        if (result.answered()) {
            guard.extend(sentAt, timings.timeToLive());
        }
        context.schedule(timings.renewInterval(), this::renewLease);
    }

    private void applyEntry(KeyValueEntry entry) {
        if (!entry.key().startsWith(keyPrefix)) {
            return;
        }
        try {
            applyMember(entry);
        } catch (IllegalArgumentException e) {
            LOGGER.atSevere().log(
                    "event=member_unreadable key=%s version=%d detail=\"%s\"",
                    entry.key(), entry.version(), e.getMessage());
        }
    }

    private void applyMember(KeyValueEntry entry) {
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
