package org.flamingopitch.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A tick that could not be delivered must not be the last one: all timers of the core would stand still. */
final class TickerTest {

    @Test
    void ticksGoOnAfterOneThatFailed() throws InterruptedException {
        AtomicInteger ticks = new AtomicInteger();
        CountDownLatch laterTicks = new CountDownLatch(3);
        Ticker ticker = new Ticker(tick -> {
            if (ticks.incrementAndGet() == 1) {
                throw new IllegalStateException("the queue is full");
            }
            laterTicks.countDown();
        });
        ticker.start();
        try {
            assertThat(laterTicks.await(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            ticker.stop();
        }
    }
}
