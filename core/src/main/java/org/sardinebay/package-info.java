/** What callers and processes exchange: positions, identifiers, requests and typed answers. */
package org.sardinebay;
