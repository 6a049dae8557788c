/** Tracks live and leaving instances and targets, and the incarnations of instances. */
package org.apricotstand.membership;
