package org.flamingopitch.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.peer.PeerAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A member whose address cannot be read must not end each process that connects to the members. */
final class EffectExecutorTest {

    private static final ProcessId ID = new ProcessId("p");

    private static Member member(String address) {
        return new Member(ID, "centre", "region", address, false);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999"})
    void memberWithAnUnreadableAddressHasNone(String address) {
        assertThat(EffectExecutor.address(member(address))).isEmpty();
    }

    @Test
    void memberHasItsAddress() {
        assertThat(EffectExecutor.address(member("10.0.0.1:7")))
                .contains(new PeerAddress(ID, new HostPort("10.0.0.1", 7)));
    }
}
