/** Stand-in for a model engine. */
package org.apricotstand.standin.engine;
