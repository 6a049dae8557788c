/** Identifiers and value records shared by all packages of the decision core. */
package org.apricotstand.model;
