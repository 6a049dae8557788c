/** Settings of one instance, read from YAML. */
package org.apricotstand.settings;
