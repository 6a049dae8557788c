/** TCP proxy that injects faults between two processes. */
package org.apricotstand.standin.fault;
