/**
 * Types that callers and processes exchange: positions, identifiers, requests, answers and
 * failures.
 */
package org.sardinebay;
