/** HTTP interface for operators. */
package org.apricotstand.operator;
