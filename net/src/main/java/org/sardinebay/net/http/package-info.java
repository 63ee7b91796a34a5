/** HTTP/1.1 with JSON, served and called through ActiveJ. */
package org.sardinebay.net.http;
