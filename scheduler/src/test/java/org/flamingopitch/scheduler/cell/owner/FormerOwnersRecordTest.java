package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A successor must not take a record that it cannot read for one without leases. */
final class FormerOwnersRecordTest {

    private static final String WRITTEN = "{\"transaction\":\"17.3\",\"otherLeaseMillis\":20,\"owners\":[{\"owner\":"
            + "{\"process\":\"host-1.k2\",\"address\":\"10.0.0.1:7000\",\"processors\":0.0},\"leaseMillis\":6124}]}";

    /** The text is stored, so that a change of it would be misread by processes of another version. */
    @Test
    void recordIsWrittenAndReadInTheRecordedForm() {
        OwnerRecord owner = new OwnerRecord(new ProcessId("host-1.k2"), "10.0.0.1:7000", 0);
        FormerOwnersRecord former =
                new FormerOwnersRecord("17.3", 20, List.of(new FormerOwnersRecord.Entry(owner, 6_124)));
        assertThat(former.encode()).isEqualTo(WRITTEN);
        assertThat(FormerOwnersRecord.decode(WRITTEN)).isEqualTo(former);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "17.3",
                "{\"otherLeaseMillis\":20,\"owners\":[]}",
                "{\"transaction\":\"17.3\",\"owners\":[]}",
                "{\"transaction\":\"17.3\",\"otherLeaseMillis\":20}",
                "{\"transaction\":\"17.3\",\"otherLeaseMillis\":-1,\"owners\":[]}",
                "{\"transaction\":\"17.3\",\"otherLeaseMillis\":20,\"owners\":[null]}",
                "{\"transaction\":\"17.3\",\"otherLeaseMillis\":20,\"owners\":[{\"leaseMillis\":5}]}",
                "{\"transaction\":\"17.3\",\"otherLeaseMillis\":20,\"owners\":"
                        + "[{\"owner\":{\"process\":\"h.1\",\"address\":\"h\",\"processors\":0.0}}]}",
                "{\"transaction\":\"17.3\",\"otherLeaseMillis\":20,\"owners\":[],\"unknown\":1}"
            })
    void otherValuesAreRejected(String value) {
        assertThatThrownBy(() -> FormerOwnersRecord.decode(value)).isInstanceOf(IllegalArgumentException.class);
    }
}
