/** Starts and signals processes of their own, and waits for what they do. */
package org.apricotstand.standin.process;
