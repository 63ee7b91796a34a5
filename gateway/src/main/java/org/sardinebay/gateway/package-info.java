/** The gateway program: runs callers' database sessions on replicated database services. */
package org.sardinebay.gateway;
