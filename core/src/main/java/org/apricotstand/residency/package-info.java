/** Which adapters an engine holds, and the commands that change it. */
package org.apricotstand.residency;
