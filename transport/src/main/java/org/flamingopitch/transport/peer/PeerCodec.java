package org.flamingopitch.transport.peer;

/**
 * Encodes and decodes the messages between peers.
 *
 * @param <M> the type of the messages
 */
public interface PeerCodec<M> {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes of one frame
     */
    byte[] encode(M message);

    /**
     * Decodes a message.
     *
     * @param bytes the bytes of one frame
     * @return the message
     * @throws IllegalArgumentException if the bytes are not a valid message
     */
    M decode(byte[] bytes);
}
