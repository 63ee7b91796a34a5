/** The model of caller sessions: statements, protocol messages, routes and members. */
package org.sardinebay.session;
