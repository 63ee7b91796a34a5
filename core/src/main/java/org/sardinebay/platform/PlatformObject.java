package org.sardinebay.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One object as the platform stores it.
 *
 * @param key the object's kind and name
 * @param version the {@link ObjectVersion} of the object's last change; increases with every change
 * @param deleted whether the last change deleted it; the body is then empty
 * @param body the object's content, including unknown fields
 */
public record PlatformObject(ObjectKey key, long version, boolean deleted, ObjectNode body) {}
