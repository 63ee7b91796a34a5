package org.sardinebay.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One object as the platform holds it.
 *
 * @param key its kind and name
 * @param version the platform's revision of its last change; grows with every change
 * @param deleted whether the last change deleted it; the body is then empty
 * @param body its content, unknown fields included
 */
public record PlatformObject(ObjectKey key, long version, boolean deleted, ObjectNode body) {}
