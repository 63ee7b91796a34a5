/** The records that operators write: databases, proxies and staleness rules. */
package org.sardinebay.record;
