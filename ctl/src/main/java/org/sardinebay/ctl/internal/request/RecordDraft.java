package org.sardinebay.ctl.internal.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import org.sardinebay.platform.ObjectKey;

/**
 * A record read from an operator's file.
 *
 * @param key its kind and name
 * @param spec its body
 * @param version the version to replace, if the file contains one
 */
record RecordDraft(ObjectKey key, ObjectNode spec, OptionalLong version) {}
