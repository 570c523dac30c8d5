package org.flamingopitch.scheduler.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.config.ConfigService;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.membership.MembershipService;
import org.flamingopitch.coordination.ownership.OwnershipDirectory;
import org.flamingopitch.coordination.ownership.OwnershipEntry;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.coordination.ownership.OwnershipListener;
import org.flamingopitch.coordination.ownership.OwnershipScope;
import org.flamingopitch.coordination.ownership.PeerKnowledge;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.DataCentreSpec;

/** The coordination services of an entry host: membership, ownership of racks and shards, and configuration. */
final class CoordinationServices {

    private static final String SHARD_GROUP = "shards";

    private static final String RACK_GROUP = "racks";

    private static final Duration PEER_PROBE_INTERVAL = Duration.ofSeconds(1);

    private final EffectContext context;

    private final StoreWatcher watcher;

    private final MembershipService membership;

    private final PeerKnowledge peerKnowledge = new PeerKnowledge();

    private final OwnershipDirectory directory;

    private final OwnershipGroup racks;

    private final OwnershipGroup shards;

    private final ConfigService<Configuration> config;

    CoordinationServices(
            EffectContext context,
            NodeSettings settings,
            Function<String, Configuration> parser,
            OwnershipListener rackListener,
            OwnershipListener shardListener) {
        this.context = context;
        this.watcher = new StoreWatcher(context, StoreKeys.WATCHED);
        Member self = settings.self();
        this.config = new ConfigService<>(
                context, watcher, StoreKeys.CONFIG, self.id().value(), parser);
        this.membership = new MembershipService(context, watcher, settings.lease(), StoreKeys.MEMBERS, self);
        this.directory = new OwnershipDirectory(watcher, StoreKeys.OWNERS);
        this.racks = new OwnershipGroup(
                context,
                RACK_GROUP,
                StoreKeys.OWNERS + RACK_GROUP + "/" + self.dataCentre(),
                watcher,
                membership,
                peerKnowledge,
                settings.lease(),
                new RackOwnershipScope(config::current, self.dataCentre()),
                (peer, group, round) -> context.send(peer, new PeerMessage.AskPromise(group, round)),
                rackListener);
        this.shards = new OwnershipGroup(
                context,
                SHARD_GROUP,
                StoreKeys.OWNERS + SHARD_GROUP,
                watcher,
                membership,
                peerKnowledge,
                settings.lease(),
                new ShardOwnershipScope(config::current),
                (peer, group, round) -> context.send(peer, new PeerMessage.AskPromise(group, round)),
                shardListener);
        membership.onRegistered(this::reintroduceToPeers);
        membership.onAbsent(peerKnowledge::removeKnownPeer);
        membership.onChange(this::connectPeers);
    }

    void start() {
        watcher.start();
        membership.start();
        racks.start();
        shards.start();
        connectPeersPeriodically();
    }

    void stop() {
        watcher.stop();
        racks.stop();
        shards.stop();
        membership.stop();
    }

    StoreWatcher watcher() {
        return watcher;
    }

    MembershipService membership() {
        return membership;
    }

    PeerKnowledge peerKnowledge() {
        return peerKnowledge;
    }

    OwnershipDirectory directory() {
        return directory;
    }

    OwnershipGroup racks() {
        return racks;
    }

    OwnershipGroup shards() {
        return shards;
    }

    ConfigService<Configuration> config() {
        return config;
    }

    OwnershipGroup group(String name) {
        return name.equals(SHARD_GROUP) ? shards : racks;
    }

    void sendIntroduction(ProcessId peer) {
        context.send(peer, new PeerMessage.Introduce(membership.self(), membership.registration()));
    }

    /** Introduces this process again after a new registration; a welcome to an older registration no longer counts. */
    private void reintroduceToPeers() {
        peerKnowledge.clearKnownBy();
        otherMembers().forEach(member -> sendIntroduction(member.id()));
    }

    private List<Member> otherMembers() {
        return membership.members().stream()
                .filter(member -> !member.id().equals(context.self()))
                .toList();
    }

    /**
     * Connects to all members and to owners of partitions that are no longer registered. If the host of such an owner
     * refuses the connection, the owner has terminated.
     */
    private void connectPeers() {
        List<Member> peers = new ArrayList<>(otherMembers());
        for (OwnershipEntry entry : directory.entries()) {
            boolean ownerNotRegistered = membership.member(entry.owner()).isEmpty()
                    && !entry.owner().equals(context.self())
                    && !peerKnowledge.terminated(entry.owner());
            if (ownerNotRegistered && peers.stream().noneMatch(peer -> peer.id().equals(entry.owner()))) {
                peers.add(new Member(entry.owner(), "", "", entry.peerAddress(), true));
            }
        }
        context.emit(new NodeEffect.ConnectPeers(peers));
    }

    /**
     * Introduces this process to the members that have not welcomed it. A welcome is lost if its sender is not connected
     * to this process yet.
     */
    private void repeatIntroductions() {
        if (!membership.registered()) {
            return;
        }
        otherMembers().stream()
                .filter(member -> !peerKnowledge.knownBy(member.id()))
                .forEach(member -> sendIntroduction(member.id()));
    }

    private void connectPeersPeriodically() {
        connectPeers();
        repeatIntroductions();
        context.schedule(PEER_PROBE_INTERVAL, this::connectPeersPeriodically);
    }

    private record RackOwnershipScope(Supplier<Configuration> configuration, String dataCentre)
            implements OwnershipScope {

        @Override
        public SortedSet<PartitionId> partitions() {
            SortedSet<PartitionId> partitions = new TreeSet<>();
            if (configuration.get() == null) {
                return partitions;
            }
            for (DataCentreSpec each : configuration.get().dataCentres()) {
                if (each.name().equals(dataCentre)) {
                    each.racks().forEach(rack -> partitions.add(Configuration.partition(each, rack)));
                }
            }
            return partitions;
        }

        @Override
        public boolean eligible(Member member) {
            return member.dataCentre().equals(dataCentre);
        }
    }

    private record ShardOwnershipScope(Supplier<Configuration> configuration) implements OwnershipScope {

        @Override
        public SortedSet<PartitionId> partitions() {
            Configuration current = configuration.get();
            return current == null ? new TreeSet<>() : ShardPartitioner.allShards(current.shards());
        }

        @Override
        public boolean eligible(Member member) {
            Configuration current = configuration.get();
            return current != null && member.region().equals(current.homeRegion());
        }
    }
}
