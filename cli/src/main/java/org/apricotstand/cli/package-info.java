/** Command line: one class for each command. */
package org.apricotstand.cli;
