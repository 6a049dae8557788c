/** The course of one request: target, sending, answer, repeats and resumption; traffic thread. */
package org.apricotstand.request;
