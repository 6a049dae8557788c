/** Settings of one instance; reads and checks YAML files. */
package org.apricotstand.settings;
