package org.flamingopitch.transport.peer;

/**
 * Turns messages into bytes and back.
 *
 * @param <M> the type of the messages
 */
public interface PeerCodec<M> {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its bytes
     */
    byte[] encode(M message);

    /**
     * Decodes a message.
     *
     * @param bytes the bytes of one frame
     * @return the message
     * @throws IllegalArgumentException if the bytes hold no message
     */
    M decode(byte[] bytes);
}
