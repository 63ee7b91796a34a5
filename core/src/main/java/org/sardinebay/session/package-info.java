/** Sessions of callers as the product sees them: statements, answers, routes and members. */
package org.sardinebay.session;
