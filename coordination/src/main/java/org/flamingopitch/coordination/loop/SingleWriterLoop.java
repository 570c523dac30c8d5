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
 * Processes events one at a time in a single thread; any thread may publish them. Built on an LMAX Disruptor ring
 * buffer.
 *
 * @param <E> the type of the events
 */
public final class SingleWriterLoop<E> implements Service {

    private final String name;

    private final Disruptor<Slot<E>> disruptor;

    private final RingBuffer<Slot<E>> ringBuffer;

    /**
     * Creates a loop.
     *
     * @param name the name of the thread
     * @param capacity the number of slots of the ring buffer, a power of two
     * @param handler processes an event
     * @param onError receives each exception thrown in the thread of the loop
     */
    public SingleWriterLoop(String name, int capacity, Consumer<E> handler, Consumer<Throwable> onError) {
        this(name, capacity, new BlockingWaitStrategy(), new SlotHandler<>(handler, null), onError);
    }

    /**
     * Creates a loop that also runs an action after each batch of events and when no event arrives within a time.
     *
     * @param name the name of the thread
     * @param capacity the number of slots of the ring buffer, a power of two
     * @param handler processes an event
     * @param idleTimeout the time without an event after which the action runs
     * @param afterBatch the action; runs in the thread of the loop
     * @param onError receives each exception thrown in the thread of the loop
     */
    public SingleWriterLoop(
            String name,
            int capacity,
            Consumer<E> handler,
            Duration idleTimeout,
            Runnable afterBatch,
            Consumer<Throwable> onError) {
        this(
                name,
                capacity,
                new TimeoutBlockingWaitStrategy(idleTimeout.toMillis(), TimeUnit.MILLISECONDS),
                new SlotHandler<>(handler, afterBatch),
                onError);
    }

    private SingleWriterLoop(
            String name, int capacity, WaitStrategy waitStrategy, SlotHandler<E> handler, Consumer<Throwable> onError) {
        this.name = name;
        this.disruptor =
                new Disruptor<>(Slot::new, capacity, task -> new Thread(task, name), ProducerType.MULTI, waitStrategy);
        disruptor.handleEventsWith(handler);
        disruptor.setDefaultExceptionHandler(new LoopExceptionHandler<>(onError));
        this.ringBuffer = disruptor.getRingBuffer();
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
     * Publishes an event; blocks until a slot is free.
     *
     * @param event the event
     */
    public void publish(E event) {
        long sequence = ringBuffer.next();
        ringBuffer.get(sequence).event = event;
        ringBuffer.publish(sequence);
    }

    /**
     * Publishes an event if a slot is free.
     *
     * @param event the event
     * @return whether it was published; false if the ring buffer is full
     */
    public boolean tryPublish(E event) {
        long sequence;
        try {
            sequence = ringBuffer.tryNext();
        } catch (InsufficientCapacityException e) {
            return false;
        }
        ringBuffer.get(sequence).event = event;
        ringBuffer.publish(sequence);
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

    private static final class LoopExceptionHandler<E> implements ExceptionHandler<Slot<E>> {

        private final Consumer<Throwable> onError;

        private LoopExceptionHandler(Consumer<Throwable> onError) {
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
