/** An HTTP/1.1 server and client for JSON, based on ActiveJ. */
package org.sardinebay.net.http;
