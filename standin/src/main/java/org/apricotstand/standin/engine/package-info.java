/** Stand-in of a model engine. */
package org.apricotstand.standin.engine;
