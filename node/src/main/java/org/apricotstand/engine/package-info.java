/** Client of model engines. */
package org.apricotstand.engine;
