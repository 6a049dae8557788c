/** Which models and adapters an engine holds, and the commands that load and unload them. */
package org.apricotstand.residency;
