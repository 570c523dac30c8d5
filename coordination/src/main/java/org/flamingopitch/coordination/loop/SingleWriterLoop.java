package org.flamingopitch.coordination.loop;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.WaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.supervisor.Service;

/**
 * Applies typed events one after another in a single thread.
 *
 * @param <E> the type of the events
 */
public final class SingleWriterLoop<E> implements Service {

    private final String name;

    private final Disruptor<Slot<E>> disruptor;

    private final RingBuffer<Slot<E>> ring;

    /**
     * Creates a loop.
     *
     * @param name the name of its thread
     * @param capacity the number of slots, a power of two
     * @param handler applies an event
     * @param onError learns of an exception that the handler threw
     */
    public SingleWriterLoop(String name, int capacity, Consumer<E> handler, Consumer<Throwable> onError) {
        this(name, capacity, new BlockingWaitStrategy(), new SlotHandler<>(handler, null), onError);
    }

    /**
     * Creates a loop that also runs an action after each batch of events, and when no event comes for a while.
     *
     * @param name the name of its thread
     * @param capacity the number of slots, a power of two
     * @param handler applies an event
     * @param idleTime how long to wait for an event
     * @param afterBatch runs in the loop's thread
     * @param onError learns of an exception that the handler threw
     */
    public SingleWriterLoop(
            String name,
            int capacity,
            Consumer<E> handler,
            Duration idleTime,
            Runnable afterBatch,
            Consumer<Throwable> onError) {
        this(
                name,
                capacity,
                new TimeoutBlockingWaitStrategy(idleTime.toMillis(), TimeUnit.MILLISECONDS),
                new SlotHandler<>(handler, afterBatch),
                onError);
    }

    private SingleWriterLoop(
            String name, int capacity, WaitStrategy waiting, SlotHandler<E> handler, Consumer<Throwable> onError) {
        this.name = name;
        this.disruptor =
                new Disruptor<>(Slot::new, capacity, task -> new Thread(task, name), ProducerType.MULTI, waiting);
        disruptor.handleEventsWith(handler);
        disruptor.setDefaultExceptionHandler(new LoopErrors<>(onError));
        this.ring = disruptor.getRingBuffer();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        disruptor.start();
    }

    @Override
    public void stop() {
        disruptor.halt();
    }

    /**
     * Publishes an event; waits for a free slot.
     *
     * @param event the event
     */
    public void publish(E event) {
        long sequence = ring.next();
        ring.get(sequence).event = event;
        ring.publish(sequence);
    }

    /**
     * Publishes an event if a slot is free.
     *
     * @param event the event
     * @return whether it was published
     */
    public boolean tryPublish(E event) {
        long sequence;
        try {
            sequence = ring.tryNext();
        } catch (InsufficientCapacityException e) {
            return false;
        }
        ring.get(sequence).event = event;
        ring.publish(sequence);
        return true;
    }

    private static final class Slot<E> {

        private E event;

        private E take() {
            E taken = event;
            event = null;
            return taken;
        }
    }

    private record SlotHandler<E>(Consumer<E> handler, Runnable afterBatch) implements EventHandler<Slot<E>> {

        @Override
        public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
            handler.accept(slot.take());
            if (endOfBatch) {
                onTimeout(sequence);
            }
        }

        @Override
        public void onTimeout(long sequence) {
            if (afterBatch != null) {
                afterBatch.run();
            }
        }
    }

    private static final class LoopErrors<E> implements ExceptionHandler<Slot<E>> {

        private final Consumer<Throwable> onError;

        private LoopErrors(Consumer<Throwable> onError) {
            this.onError = onError;
        }

        @Override
        public void handleEventException(Throwable error, long sequence, Slot<E> slot) {
            onError.accept(error);
        }

        @Override
        public void handleOnStartException(Throwable error) {
            onError.accept(error);
        }

        @Override
        public void handleOnShutdownException(Throwable error) {
            onError.accept(error);
        }
    }
}
