/** Checks a set of declarations and describes which requests a change of it touches. */
package org.apricotstand.declaration.check;
