/** Stand-in of a plain service. */
package org.apricotstand.standin.service;
