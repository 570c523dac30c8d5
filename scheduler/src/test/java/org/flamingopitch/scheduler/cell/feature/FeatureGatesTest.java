package org.flamingopitch.scheduler.cell.feature;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A gate that is misspelt and ignored would make a measurement of a mechanism a measurement of nothing. */
final class FeatureGatesTest {

    @Test
    void namedGatesAreOffAndAllOthersOn() {
        FeatureGates gates = FeatureGates.parse("copies=false,admission=true,rack-waits=false");
        for (FeatureGate gate : FeatureGate.values()) {
            boolean off = gate == FeatureGate.COPIES || gate == FeatureGate.RACK_WAITS;
            assertThat(gates.on(gate)).as(gate.label()).isEqualTo(!off);
        }
        assertThat(gates).hasToString("copies,rack-waits");
        assertThat(FeatureGates.ALL_ON).hasToString("none");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "copy=false | unknown feature gate \"copy\"",
                "copies | \"copies\" is not NAME=true or NAME=false",
                "copies=off | \"copies=off\" is not NAME=true or NAME=false",
                "copies=false, | \"\" is not NAME=true or NAME=false",
                "copies=false,copies=true | copies is named twice"
            })
    void invalidListIsRejectedWithTheEntry(String text, String error) {
        assertThatThrownBy(() -> FeatureGates.parse(text))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(error);
    }

    @Test
    void descriptionNamesAllGates() {
        for (FeatureGate gate : FeatureGate.values()) {
            assertThat(FeatureGates.describe()).contains(gate.label() + " (" + gate.summary() + ")");
        }
    }
}
